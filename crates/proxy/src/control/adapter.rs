//! What the control thread reaches the world outside through, as one type.
//!
//! The store, the orders, the catalog's format and the servers' wire vary together, since one adapter fills
//! them all; one parameter in their place keeps every `impl` of the control thread to a line.

use std::marker::PhantomData;

use crate::{
    catalog::CatalogFormat, dialect::EndpointDialect, metadata::MetadataStore,
    order::PromotionOrders,
};

/// The four types that an adapter fills.
pub trait Adapter: 'static {
    /// The client of the store.
    type Store: MetadataStore;
    /// Where promotions are ordered.
    type Orders: PromotionOrders;
    /// How the catalog is written.
    type Format: CatalogFormat;
    /// How servers speak.
    type Dialect: EndpointDialect;
}

/// Joins four types; no value of it exists.
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
