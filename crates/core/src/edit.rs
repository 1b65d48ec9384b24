//! Edits of a sheet.

use serde::{Deserialize, Serialize};

use crate::{
    Name,
    sheet::{AvailabilityZone, Class, ClientAccount, Endpoint, Goal, Model, Price, Sheet, Tier},
};

/// One change of a sheet. `Put` variants add an entry or replace the one with the same name.
///
/// The order of variants and fields is the wire format: append, never reorder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Edit {
    /// Changes the sheet's name.
    Rename(Name),
    /// Replaces the goal.
    SetGoal(Goal),
    /// Replaces the whole list of tiers, since their order matters.
    SetTiers(Vec<Tier>),
    /// Adds or replaces an availability zone.
    PutZone(AvailabilityZone),
    /// Removes an availability zone.
    RemoveZone(Name),
    /// Adds or replaces a class.
    PutClass(Class),
    /// Removes a class.
    RemoveClass(Name),
    /// Adds or replaces a client account.
    PutAccount(ClientAccount),
    /// Removes a client account.
    RemoveAccount(Name),
    /// Adds or replaces a model.
    PutModel(Model),
    /// Removes a model.
    RemoveModel(Name),
    /// Adds or replaces an endpoint.
    PutEndpoint(Endpoint),
    /// Removes an endpoint.
    RemoveEndpoint(Name),
    /// Adds or replaces the price from one region to another.
    PutPrice(Price),
    /// Removes the price from one region to another.
    RemovePrice {
        /// Region that the traffic leaves.
        from: Name,
        /// Region that the traffic enters.
        to: Name,
    },
}

/// Error of an edit that removes an entry that does not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Absent {
    /// Name of the missing entry. For a price, the region that the traffic leaves.
    pub name: Name,
}

impl Edit {
    /// Applies the edit to `sheet`.
    ///
    /// # Errors
    ///
    /// The entry to remove does not exist. The sheet is unchanged in that case.
    pub fn apply(&self, sheet: &mut Sheet) -> Result<(), Absent> {
        match self {
            Edit::Rename(name) => sheet.sheet = name.clone(),
            Edit::SetGoal(goal) => sheet.goal = *goal,
            Edit::SetTiers(tiers) => sheet.tiers = tiers.clone(),
            Edit::PutZone(it) => put(&mut sheet.availability_zones, it, zone_name),
            Edit::RemoveZone(name) => remove(&mut sheet.availability_zones, name, zone_name)?,
            Edit::PutClass(it) => put(&mut sheet.classes, it, class_name),
            Edit::RemoveClass(name) => remove(&mut sheet.classes, name, class_name)?,
            Edit::PutAccount(it) => put(&mut sheet.client_accounts, it, account_name),
            Edit::RemoveAccount(name) => remove(&mut sheet.client_accounts, name, account_name)?,
            Edit::PutModel(it) => put(&mut sheet.models, it, model_name),
            Edit::RemoveModel(name) => remove(&mut sheet.models, name, model_name)?,
            Edit::PutEndpoint(it) => put(&mut sheet.endpoints, it, endpoint_name),
            Edit::RemoveEndpoint(name) => remove(&mut sheet.endpoints, name, endpoint_name)?,
            Edit::PutPrice(it) => put(&mut sheet.prices, it, price_regions),
            Edit::RemovePrice { from, to } => remove_price(sheet, from, to)?,
        }
        Ok(())
    }

    /// Computes edits that turn `old` into `new`. The order of entries may differ, except for
    /// tiers.
    pub fn between(old: &Sheet, new: &Sheet) -> Vec<Edit> {
        let mut edits = Vec::new();
        if old.sheet != new.sheet {
            edits.push(Edit::Rename(new.sheet.clone()));
        }
        if old.goal != new.goal {
            edits.push(Edit::SetGoal(new.goal));
        }
        if old.tiers != new.tiers {
            edits.push(Edit::SetTiers(new.tiers.clone()));
        }
        let zones = (&old.availability_zones, &new.availability_zones);
        diff_entries(&mut edits, zones, zone_name, Edit::PutZone, Edit::RemoveZone);
        let models = (&old.models, &new.models);
        diff_entries(&mut edits, models, model_name, Edit::PutModel, Edit::RemoveModel);
        let classes = (&old.classes, &new.classes);
        diff_entries(&mut edits, classes, class_name, Edit::PutClass, Edit::RemoveClass);
        let accounts = (&old.client_accounts, &new.client_accounts);
        diff_entries(&mut edits, accounts, account_name, Edit::PutAccount, Edit::RemoveAccount);
        let endpoints = (&old.endpoints, &new.endpoints);
        diff_entries(&mut edits, endpoints, endpoint_name, Edit::PutEndpoint, Edit::RemoveEndpoint);
        let prices = (&old.prices, &new.prices);
        let remove = |(from, to)| Edit::RemovePrice { from, to };
        diff_entries(&mut edits, prices, price_regions, Edit::PutPrice, remove);
        edits
    }
}

fn zone_name(it: &AvailabilityZone) -> Name {
    it.name.clone()
}

fn class_name(it: &Class) -> Name {
    it.name.clone()
}

fn account_name(it: &ClientAccount) -> Name {
    it.name.clone()
}

fn model_name(it: &Model) -> Name {
    it.name.clone()
}

fn endpoint_name(it: &Endpoint) -> Name {
    it.name.clone()
}

fn price_regions(it: &Price) -> (Name, Name) {
    (it.from.clone(), it.to.clone())
}

fn put<T: Clone, K: PartialEq>(list: &mut Vec<T>, item: &T, key: fn(&T) -> K) {
    match list.iter_mut().find(|it| key(it) == key(item)) {
        Some(found) => *found = item.clone(),
        None => list.push(item.clone()),
    }
}

fn remove<T>(list: &mut Vec<T>, name: &Name, key: fn(&T) -> Name) -> Result<(), Absent> {
    let index = list.iter().position(|it| key(it) == *name);
    let index = index.ok_or_else(|| Absent { name: name.clone() })?;
    list.remove(index);
    Ok(())
}

fn remove_price(sheet: &mut Sheet, from: &Name, to: &Name) -> Result<(), Absent> {
    let index = sheet.prices.iter().position(|it| it.from == *from && it.to == *to);
    let index = index.ok_or_else(|| Absent { name: from.clone() })?;
    sheet.prices.remove(index);
    Ok(())
}

fn diff_entries<T: Clone + PartialEq, K: PartialEq>(
    edits: &mut Vec<Edit>,
    (old, new): (&Vec<T>, &Vec<T>),
    key: fn(&T) -> K,
    put: fn(T) -> Edit,
    remove: impl Fn(K) -> Edit,
) {
    let removed = old.iter().filter(|it| !new.iter().any(|other| key(other) == key(it)));
    edits.extend(removed.map(|it| remove(key(it))));
    let changed = new.iter().filter(|it| !old.contains(it));
    edits.extend(changed.map(|it| put(it.clone())));
}
