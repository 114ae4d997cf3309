//! The external interfaces of the control thread, bundled into one type parameter.
//!
//! One adapter supplies the store client, the promotion orders, the catalog format and the server dialect together.

use std::marker::PhantomData;

use crate::{
    catalog::CatalogFormat, dialect::EndpointDialect, metadata::MetadataStore,
    order::PromotionOrders,
};

/// The four types that an adapter supplies.
pub trait Adapter: 'static {
    /// The client of the store.
    type Store: MetadataStore;
    /// The client that orders promotions.
    type Orders: PromotionOrders;
    /// The format of the catalog.
    type Format: CatalogFormat;
    /// The protocol of the servers.
    type Dialect: EndpointDialect;
}

/// Combines four types into an [`Adapter`]; it has no values.
pub struct AdapterTypes<M, O, F, E>(PhantomData<(M, O, F, E)>);

impl<M, O, F, E> Adapter for AdapterTypes<M, O, F, E>
where
    M: MetadataStore,
    O: PromotionOrders,
    F: CatalogFormat,
    E: EndpointDialect,
{
    type Store = M;
    type Orders = O;
    type Format = F;
    type Dialect = E;
}
